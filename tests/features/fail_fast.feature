Feature: A target that fails fast does not draw traffic
  Scenario: Callers see almost none of the failures
    Given 5 targets, the first with faults {"fail_status": 500}
    When 400 callers look up their own number one after the other
    # Random selection would show 80 failures; the bound is 2 in 100 of them.
    Then at most 1 answer has status 500

  Scenario: A target that refuses everything does not stop orders
    Given 5 targets, the first with faults {"shed": 1.0}
    When 200 callers send their own order one after the other
    Then every answer is 1000
    And every order ran exactly once
