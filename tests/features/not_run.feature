Feature: A request reported as not run did not run
  Scenario Outline: <what>
    Given 3 targets with faults <faults>
    When a caller sends <request>
    Then the last answer is <code> with run state not-run
    And the request ran 0 times

    Examples:
      | what                              | faults        | request            | code |
      | Every target refuses an order     | {"shed": 1.0} | POST /order/1      | 2009 |
      | Every target refuses a lookup     | {"shed": 1.0} | GET /lookup/1      | 2009 |
      | No route leads to a service       | {}            | GET /elsewhere     | 2001 |
      | The method is not allowed         | {}            | DELETE /order/1    | 2016 |

  Scenario: No target can be reached
    Given 0 targets
    When a caller sends POST /order/1
    Then the last answer is 2004 with run state not-run

  Scenario: The only target is down
    Given 1 target with faults {"restart_s": 100.0}
    When every target crashes
    And a caller sends POST /order/1
    Then the last answer is 2015 with run state not-run
    And the request ran 0 times
