Feature: A graceful stop completes the requests in flight
  Scenario: A slow upload in progress at the stop arrives byte for byte
    Given 2 targets
    When a caller uploads 2000000 bytes slowly and the daemon is stopped meanwhile
    Then the last answer is 1000
    And the last answer asks to close the connection
    And every upload arrived byte for byte
    And the daemon exited soon after the upload

  Scenario: Idle connections do not delay the stop
    Given 2 targets
    When a caller keeps an idle connection and the daemon is stopped
    Then the daemon exited within 2 seconds

  Scenario: After the grace period no new connection is accepted
    Given 2 targets
    When the daemon is stopped while a lookup of 3 seconds runs
    Then the last answer is 1000
    And a new connection is refused
