Feature: One attempt at a replica
  The outcome of an attempt decides whether the call may be retried. A wrong outcome makes a call run twice,
  or reports to the caller that it has not run although it has.

  Scenario: An aborted attempt ends once
    # Connecting takes too long. Aborting closes the connection, which fails the request, and that is reported while
    # the attempt is still being aborted. If both counted, the call would be sent to two replicas at once.
    Given an attempt whose connection is never made
    When its connect time-out expires
    Then it ended once, as "notSent"

  Scenario: An attempt is not sent to a replica that is no longer eligible once its connection is made
    # Guards against calls that waited for their connection during a pause of this process, and go to a replica that has left since.
    Given an attempt at a replica that is no longer eligible when its connection is made
    Then it ended once, as "outdated"
    And its request was aborted before it was sent

  Scenario: An answer that belongs to another call is rejected
    Given an attempt for call "c1"
    When an answer to "c0" arrives
    Then it ended once, as "lost"
    And its connection is closed

  Scenario: A refusal is reported as such
    Given an attempt for call "c1"
    When the replica states that it has not run the call
    Then it ended once, as "refused"
    And its connection is released

  Scenario: The end of an answer without a length counts only if its connection was not reset
    Given an attempt for call "c1"
    When an answer without a length arrives and its connection is reset
    Then it ended once, as "lost"

  Scenario: Inactivity ends an attempt
    Given an attempt for call "c1" with an inactivity time-out of 20 ms
    Then it ended once, as "silent"
    And the other idle connections to the replica are closed

  Scenario: A pause of this process counts as inactivity, up to half of the time-out
    # Guards against a caller that waits for the pauses of this process and for the full time-out on top.
    Given an attempt for call "c1" with an inactivity time-out of 1000 ms, checked every 100 ms
    When the process is paused for 800 ms within the attempt
    Then it ended once, as "silent"
    And it was checked 5 times

  Scenario: A pause of this process alone does not end an attempt
    # Guards against the loss of an answer that this process had no time to read.
    Given an attempt for call "c1" with an inactivity time-out of 1000 ms, checked every 100 ms
    When the process is paused for 1200 ms within the attempt
    Then it ended once, as "silent"
    And it was checked 5 times

  Scenario: A request at an unreachable replica does not wait for its inactivity time-out
    # The replica's VM has lost its power: no byte arrives, and no connection can be made.
    Given an attempt for call "c1" at an unreachable replica
    Then it ended once, as "cutOff"
    And the other idle connections to the replica are closed

  Scenario: A busy replica keeps its request
    # No byte arrives for longer than usual, but connections to the replica can be made: the request waits for a slot there.
    Given an attempt for call "c1" at a busy replica
    Then it ended once, as "silent"
