Feature: One attempt at a replica
  What is said of an attempt decides whether the call may be sent on. A wrong word makes a call run twice,
  or tells a caller that it has not run when it has.

  Scenario: An attempt that is given up ends once
    # Connecting takes too long. Giving up closes the connection, and closing it fails the request, which is told
    # while the attempt is still being given up. If both counted, the call would be offered to two replicas at once.
    Given an attempt whose connection is never made
    When its time to connect is over
    Then it ended once, as "notSent"

  Scenario: An attempt whose replica may have left while its connection was made is not sent
    # Guards against calls that waited for their connection through a pause of this process, and go to a replica that has left since.
    Given an attempt at a replica that may have left when its connection is made
    Then it ended once, as "outdated"
    And its request was aborted before it was sent

  Scenario: An answer that belongs to another call is none
    Given an attempt for call "c1"
    When an answer to "c0" comes
    Then it ended once, as "lost"
    And its connection is closed

  Scenario: A refusal is told as such
    Given an attempt for call "c1"
    When the replica says that it has not run the call
    Then it ended once, as "refused"
    And its connection is free again

  Scenario: The end of an answer without a length counts only if its connection has not failed
    Given an attempt for call "c1"
    When an answer without a length comes and its connection is reset
    Then it ended once, as "lost"

  Scenario: Silence ends an attempt
    Given an attempt for call "c1" that bears 20 ms of silence
    Then it ended once, as "silent"
    And the other idle connections to the replica are closed

  Scenario: A pause of this process counts as silence, up to half of the limit
    # Guards against a caller that waits for the pauses of this process and for the whole limit besides.
    Given an attempt for call "c1" that bears 1000 ms of silence, looked at every 100 ms
    When the process is paused for 800 ms within the attempt
    Then it ended once, as "silent"
    And it was looked at 5 times

  Scenario: A pause of this process alone does not end an attempt
    # Guards against an answer that is given up because this process had no time to read it.
    Given an attempt for call "c1" that bears 1000 ms of silence, looked at every 100 ms
    When the process is paused for 1200 ms within the attempt
    Then it ended once, as "silent"
    And it was looked at 5 times

  Scenario: A request at a replica that can no longer be reached does not wait until its patience is over
    # The replica's VM has lost its power: no byte comes, and no connection can be made.
    Given an attempt for call "c1" at a replica that can no longer be reached
    Then it ended once, as "cutOff"
    And the other idle connections to the replica are closed

  Scenario: A replica that is only busy keeps its request
    # Without a byte for longer than usual, but connections to it are made: the request waits for a place there.
    Given an attempt for call "c1" at a replica that is busy
    Then it ended once, as "silent"
