Feature: The operators' document

  Scenario: An accepted edit is in force on all hosts
    Given 16 entry hosts in three regions
    And version 1 is in force
    When a team edits its section
    And 3 seconds pass
    Then version 2 is in force everywhere and no other was accepted

  Scenario Outline: An edit whose response is lost is applied once
    Given 16 entry hosts in three regions
    And version 2 is in force
    When the store has the fault <fault> of <value>
    And a team edits its section
    And the store has the fault <fault> of 0.0
    And 5 seconds pass
    Then version 3 is in force everywhere and no other was accepted

    Examples:
      | fault       | value |
      | lose_answer | 0.7   |
      | lose_write  | 0.5   |
      | read_lag_s  | 2.0   |
      | slow_s      | 0.3   |

  Scenario: Replaced hosts keep the version in force while the store returns an older one
    Given 16 entry hosts in three regions
    And version 3 is in force
    When the store has the fault read_lag_s of 60.0
    And the store has the fault watch_lag_s of 60.0
    And every host is replaced
    Then version 3 is in force everywhere and no other was accepted

  Scenario: Edits are refused during an outage of the store
    Given 16 entry hosts in three regions
    And version 2 is in force
    When the store is down
    And a team edits its section
    And 60 seconds pass
    Then the edit is refused with 4111
    And version 2 is in force everywhere and no other was accepted

  Scenario Outline: An invalid section is refused and changes nothing
    Given 16 entry hosts in three regions
    And version 1 is in force
    When a team submits the section <body>
    And 3 seconds pass
    Then the edit is refused with <code>
    And version 1 is in force everywhere and no other was accepted

    Examples:
      | body                                                       | code |
      | owner =                                                    | 4101 |
      | owner = "a"\nnothing = 1                                   | 4102 |
      | owner = "a"\nservices = 1                                  | 4103 |
      | owner = "a"\n[services.x]\nslots = 0                       | 4104 |
      | owner = "a"\n[[routes]]\nprefix = "/x"\nservice = "none"   | 4107 |
      | [services.x]                                               | 4108 |
