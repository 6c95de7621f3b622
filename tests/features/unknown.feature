Feature: A caller is told when its request may have run, and an order is never sent twice
  Scenario Outline: <what>
    Given 3 targets with faults <faults>
    When a caller sends POST /order/1 with a deadline of 2000 ms
    Then the last answer is <code> and says unknown
    And the request ran at most 1 time

    Examples:
      | what                                    | faults                           | code |
      | The target crashes                      | {"crash_paths": ["/order/1"]}    | 3001 |
      | The connection goes silent              | {"silent_paths": ["/order/1"]}   | 3004 |
      | The answer is malformed                 | {"garbage_paths": ["/order/1"]}  | 3008 |
      | The deadline passes                     | {"slow_factor": 5000.0}          | 3004 |

  Scenario: An order whose path is written in percent-encoding is not sent twice
    Given 3 targets with faults {"crash_paths": ["/%6frder/1"]}
    When a caller sends POST /%6frder/1
    Then the last answer is 3001 and says unknown
    And the request ran 1 times

  Scenario: The deadline passes before the target counts as silent
    Given 3 targets with faults {"slow_factor": 5000.0}
    When a caller sends POST /order/1 with a deadline of 300 ms
    Then the last answer is 3003 and says unknown

  Scenario: A lookup whose every attempt is lost is unknown although the last one did not run
    Given 1 target with faults {"crash_paths": ["/lookup/1"]}
    When a caller sends GET /lookup/1
    Then the last answer is 3001 and says unknown
