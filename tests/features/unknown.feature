Feature: A request that may have run is reported as unknown, and an order is never sent twice
  Scenario Outline: <what>
    Given 3 targets with faults <faults>
    When a caller sends POST /order/1 with a deadline of 2000 ms
    Then the last answer is <code> with run state unknown
    And the request ran at most once

    Examples:
      | what                                    | faults                           | code |
      | The target crashes                      | {"crash_paths": ["/order/1"]}    | 3001 |
      | The connection goes silent              | {"silent_paths": ["/order/1"]}   | 3004 |
      | The answer is malformed                 | {"garbage_paths": ["/order/1"]}  | 3008 |
      | The deadline passes                     | {"slow_factor": 5000.0}          | 3004 |

  Scenario: An order with a percent-encoded path is not sent twice
    Given 3 targets with faults {"crash_paths": ["/%6frder/1"]}
    When a caller sends POST /%6frder/1
    Then the last answer is 3001 with run state unknown
    And the request ran 1 times

  Scenario: The deadline passes before the target counts as silent
    Given 3 targets with faults {"slow_factor": 5000.0}
    When a caller sends POST /order/1 with a deadline of 300 ms
    Then the last answer is 3003 with run state unknown

  Scenario: A lookup is unknown if an attempt may have run, although the last one did not
    Given 1 target with faults {"crash_paths": ["/lookup/1"]}
    When a caller sends GET /lookup/1
    Then the last answer is 3001 with run state unknown
