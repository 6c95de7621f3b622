Feature: At-most-once execution of keyed requests

  Scenario Outline: <fault>
    Given a fleet of five entry hosts in two regions
    When <fault> during a keyed request
    And the caller repeats the key through another host after the recovery
    Then the request was executed <runs> times
    And the caller got result <first> and on the repeat <repeat>
    And a new key is served within 3 seconds of the fault

    Examples:
      | fault                                           | first | repeat | runs |
      | nothing fails                                   | 1000  | 1001   | 1    |
      | the owner is lost between intent and go         | 2008  | 1000   | 1    |
      | the owner is lost between go and forwarding     | 1000  | 1001   | 1    |
      | the entry host is lost before forwarding        | none  | 3006   | 0    |
      | the owner is lost between forwarding and outcome| 1000  | 1001   | 1    |
      | the owner is paused after the intent            | 2008  | 1000   | 1    |
      | the owner is paused before the outcome          | 1000  | 1001   | 1    |
      | the answer of the write is lost                 | 1000  | 1001   | 1    |
      | the write takes effect late                     | 2008  | 1000   | 1    |
      | the owner stops as planned                      | 1000  | 1001   | 1    |
      | the store is down for five seconds              | 2008  | 1000   | 1    |
      | the target refuses                              | 2009  | 1000   | 1    |
      | the target dies                                 | 3001  | 3006   | 1    |
      | clocks differ and the owner is lost             | 1000  | 1001   | 1    |
      | the owner is lost after a short pause           | 1000  | 1001   | 1    |
