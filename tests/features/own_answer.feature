Feature: A caller receives the complete answer to its own request
  Scenario: Concurrent callers receive their own answers
    Given 12 targets
    When 50 callers look up their own number at the same time
    Then every caller has the complete answer to its own request

  Scenario: A long answer truncated by the target does not look complete
    Given 1 target with faults {"truncate_paths": ["/order/cut"], "answer_bytes": 200000}
    When a caller sends POST /order/cut
    Then no complete answer arrives
    And the counter requests.result.3002 is 1

  Scenario: A short answer truncated by the target is reported
    Given 1 target with faults {"truncate_paths": ["/order/cut"]}
    When a caller sends POST /order/cut
    Then the last answer is 3002 with run state unknown

  Scenario: A lookup with a truncated short answer is retried at another target
    Given 4 targets, the first with faults {"truncate_paths": ["/lookup"]}
    When 20 callers look up their own number one after the other
    Then every caller has the complete answer to its own request
    And the counter requests.retries is at least 1

  Scenario: A late answer is dropped with its connection
    Given 1 target with faults {"slow_factor": 400.0}
    When a caller sends POST /order/late with a deadline of 300 ms
    And the targets get the faults {"slow_factor": 1.0}
    And a caller sends POST /order/next
    Then the last answer is 1000 for path /order/next

  Scenario: An answer that begins before the end of the upload is forwarded
    Given 1 target with faults {"early_paths": ["/order/early"]}
    When a caller sends POST /order/early with 3000000 bytes
    Then the last answer is 1000 with status 413
