Feature: Only safe retries are made, within a budget
  Scenario: An order refused by a target runs once at another target
    Given 5 targets, the first with faults {"shed": 1.0}
    When 30 callers send their own order one after the other
    Then every answer is 1000
    And every order ran exactly once

  Scenario: Lookups are retried at another target after a failure
    Given 4 targets, the first with faults {"fail_status": 500}
    When 20 callers look up their own number one after the other
    Then every answer has status 200
    And the counter requests.retries is at least 1

  Scenario: Retries stay within a tenth of the traffic when every target fails
    Given 5 targets with faults {"fail_status": 500}
    When 400 callers look up their own number one after the other
    Then the counter requests.retries is at most 50
    And the counter requests.retries is at least 10
    And every answer has status 500

  Scenario: An upload longer than the held part is not retried
    Given 3 targets with faults {"crash_paths": ["/lookup/large"]}
    When a caller sends POST /lookup/large with 200000 bytes
    Then the last answer is 3001 with run state unknown
    And the counter requests.no_retry.not_held is 1

  Scenario: A short upload is retried from the held part
    Given 3 targets, the first with faults {"crash_paths": ["/lookup"], "restart_s": 100.0}
    When 10 callers upload 20000 bytes to their own lookup one after the other
    Then every answer is 1000
    And every upload arrived byte for byte

  Scenario: A keyed order that is repeated runs once
    Given 3 targets
    When a caller sends the keyed order k1 with body a 3 times
    Then every answer has status 200
    And the request ran 1 times
    And the last answer is 1001

  Scenario: A keyed order that crashed its target is never sent again
    Given 3 targets with faults {"crash_paths": ["/order/keyed"]}
    When a caller sends the keyed order k1 with body a 3 times
    Then the request ran 1 times
    And the last answer is 3006 with run state unknown

  Scenario: A keyed order that every target refused can be repeated
    Given 3 targets with faults {"shed": 1.0}
    When a caller sends the keyed order k1 with body a 1 times
    And the targets get the faults {"shed": 0.0}
    And a caller sends the keyed order k1 with body a 1 times
    Then the last answer is 1000
    And the request ran 1 times

  Scenario: A key reused with another body is refused
    Given 3 targets
    When a caller sends the keyed order k1 with body a 1 times
    And a caller sends the keyed order k1 with body b 1 times
    Then the last answer is 2012 with run state not-run
    And the request ran 1 times
