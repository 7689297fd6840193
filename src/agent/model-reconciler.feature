Feature: An engine follows the newest placement alone
  A holder of the placement that was paused past its lease wakes up and finishes the assignment it was about to write.
  Were it obeyed, the engine would go back to an old version, and callers of the new one would find no replica.
  The new holder makes its number known first; the agent asks for it before it obeys a new assignment and after each
  restart, so that engines are safe whether they check fencing numbers or not.

  Scenario Outline: A holder that wakes up after its lease
    Given an engine and its agent, where it is "<checks>" that the engine checks fencing numbers
    And the holder 1 of the placement assigns version "v1"
    And the engine has version "v1"
    When holder 2 takes the placement over
    And holder 1 wakes up and assigns version "v0"
    Then the agent holds the orders back and the engine still has version "v1"
    When the agent is restarted
    Then the agent holds the orders back and the engine still has version "v1"
    When the holder 2 of the placement assigns version "v2"
    Then the engine has version "v2"

    Examples:
      | checks |
      | true   |
      | false  |

  Scenario: An assignment from before the takeover still counts
    Given an engine and its agent, where it is "false" that the engine checks fencing numbers
    And the agent is stopped
    And the holder 1 of the placement assigns version "v1"
    When holder 2 takes the placement over
    And the agent is restarted
    Then the engine has version "v1"

  Scenario: The number can not be learned during an outage
    Given an engine and its agent, where it is "false" that the engine checks fencing numbers
    And the holder 1 of the placement assigns version "v1"
    And the engine has version "v1"
    And the object API is down for the agent
    When the holder 1 of the placement assigns version "v2" by way of a peer
    Then the agent holds the orders back and the engine still has version "v1"
    When the object API is up again for the agent
    Then the engine has version "v2"

  Scenario: The weight store is at its limit
    Given 2 engines and agents that share a weight store for 1 load at once
    When the holder 1 of the placement assigns version "v1" to all of them
    Then every engine has version "v1" and the weight store never gave more than 1 at once
