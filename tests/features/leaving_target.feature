Feature: A target that is leaving receives no new work within 2 seconds
  Scenario: A target says in an answer that it is leaving
    Given 3 targets
    When 10 callers look up their own number one after the other
    And the first target gets the faults {"draining": true}
    And 30 callers look up their own number one after the other
    And 2 seconds pass
    And the runs of the first target are noted
    And 60 callers look up their own number one after the other
    Then every answer is 1000
    And the first target ran nothing more

  Scenario: Only the health endpoint says that a target is leaving
    Given 3 targets
    When 10 callers look up their own number one after the other
    And the first target gets the faults {"draining": true}
    And 2 seconds pass
    And the runs of the first target are noted
    And 60 callers look up their own number one after the other
    Then every answer is 1000
    And the first target ran nothing more

  Scenario: A report that a target is leaving is dropped when the host list shows it as live
    Given 3 targets
    When the first target gets the faults {"draining": true}
    And the host list shows the first target as live
    And 3 seconds pass
    And the first target gets the faults {"draining": false}
    And 40 seconds pass
    And the runs of the first target are noted
    And 60 callers look up their own number one after the other
    Then the first target ran something more

  Scenario: The host list says that a target is leaving
    Given 3 targets
    When 10 callers look up their own number one after the other
    And the host list shows the first target as leaving
    And 6 seconds pass
    And the runs of the first target are noted
    And 60 callers look up their own number one after the other
    Then every answer is 1000
    And the first target ran nothing more
