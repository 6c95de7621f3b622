Feature: Silent connections are detected before the caller's deadline
  Scenario: Lookups are retried after a silent connection
    Given 4 targets
    When 40 callers look up their own number at the same time
    And every open connection to the targets goes silent
    And 10 callers look up their own number one after the other
    Then every answer is 1000
    And the last answer took at most 1200 ms

  Scenario: Orders use only new or recently used connections
    Given 1 target
    When 10 callers look up their own number at the same time
    And every open connection to the targets goes silent
    And 2 seconds pass
    And a caller sends POST /order/1
    Then the last answer is 1000
