Feature: A draining target receives no new requests after 2 seconds
  Scenario: An answer reports that the target is draining
    Given 3 targets
    When 10 callers look up their own number one after the other
    And the first target gets the faults {"draining": true}
    And 30 callers look up their own number one after the other
    And 2 seconds pass
    And the number of runs at the first target is recorded
    And 60 callers look up their own number one after the other
    Then every answer is 1000
    And the first target ran no further requests

  Scenario: Only the health endpoint reports that the target is draining
    Given 3 targets
    When 10 callers look up their own number one after the other
    And the first target gets the faults {"draining": true}
    And 2 seconds pass
    And the number of runs at the first target is recorded
    And 60 callers look up their own number one after the other
    Then every answer is 1000
    And the first target ran no further requests

  Scenario: A draining report expires when the host list shows the target as live
    Given 3 targets
    When the first target gets the faults {"draining": true}
    And the host list shows the first target as live
    And 3 seconds pass
    And the first target gets the faults {"draining": false}
    And 40 seconds pass
    And the number of runs at the first target is recorded
    And 60 callers look up their own number one after the other
    Then the first target ran further requests

  Scenario: The host list shows the target as leaving
    Given 3 targets
    When 10 callers look up their own number one after the other
    And the host list shows the first target as leaving
    And 6 seconds pass
    And the number of runs at the first target is recorded
    And 60 callers look up their own number one after the other
    Then every answer is 1000
    And the first target ran no further requests
