Feature: A slow lookup is sent to a second target
  Scenario: Lookups at a slow target are hedged, and the slower attempt is cancelled
    Given 10 targets with hedging
    When 200 callers look up their own number one after the other
    And the first target gets the faults {"slow_factor": 40.0}
    And 100 callers look up their own number one after the other
    Then every answer is 1000
    And the counter requests.hedges is at least 1
    And the counter requests.hedges is at most 50
    And a target saw a request cancelled

  Scenario: Orders are never hedged
    Given 5 targets with hedging
    When 200 callers send their own order one after the other
    Then every order ran exactly once
    And the counter requests.hedges is 0
