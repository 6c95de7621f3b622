Feature: A target that fails fast does not attract traffic
  Scenario: Retries and ejection hide almost all failures from callers
    Given 5 targets, the first with faults {"fail_status": 500}
    When 400 callers look up their own number one after the other
    # Random selection would return 80 failures; the bound is 2% of them.
    Then at most 1 answer has status 500

  Scenario: Orders succeed although one target refuses everything
    Given 5 targets, the first with faults {"shed": 1.0}
    When 200 callers send their own order one after the other
    Then every answer is 1000
    And every order ran exactly once
