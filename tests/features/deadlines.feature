Feature: The remaining time until the deadline is forwarded and enforced
  Scenario: A target learns how much time remains
    Given 1 target
    When a caller sends GET /lookup/1 with a deadline of 400 ms
    Then the last answer is 1000
    And targets received deadlines between 300 and 400 ms

  Scenario: The caller is answered at its deadline and the target is cancelled
    Given 1 target with faults {"slow_factor": 5000.0}
    When a caller sends POST /order/1 with a deadline of 400 ms
    Then the last answer is 3003 with run state unknown
    And the last answer took at most 500 ms
    And a target saw a request cancelled

  Scenario: No attempt is started without enough time left
    Given 1 target
    When 40 callers look up their own number one after the other
    And a caller sends POST /order/1 with a deadline of 1 ms
    Then the last answer is 2003 with run state not-run
    And the request ran 0 times
