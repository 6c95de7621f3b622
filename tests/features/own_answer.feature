Feature: A caller receives the complete answer to its own request
  Scenario: Answers of many callers do not mix
    Given 12 targets
    When 50 callers look up their own number at the same time
    Then every caller has the complete answer to its own request

  Scenario: An answer that a target cuts off does not look complete
    Given 1 target with faults {"truncate_paths": ["/order/cut"]}
    When a caller sends POST /order/cut
    Then no complete answer of a target arrives
    And the counter requests.result.3002 is 1

  Scenario: An answer that arrives too late is dropped with its connection
    Given 1 target with faults {"slow_factor": 400.0}
    When a caller sends POST /order/late with a deadline of 300 ms
    And the targets get the faults {"slow_factor": 1.0}
    And a caller sends POST /order/next
    Then the last answer is 1000 and for /order/next

  Scenario: An answer that begins before the upload has ended is passed on
    Given 1 target with faults {"early_paths": ["/order/early"]}
    When a caller sends POST /order/early with 3000000 bytes
    Then the last answer is 1000 with status 413
