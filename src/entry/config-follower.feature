Feature: Configuration reaches every node and stays
  An operator's change must be in force at all entries within seconds, though only a few of them watch the object API.
  Links go silent, regions lose each other, the object API is down or forgets its history, and nodes are restarted meanwhile.
  Each node asks one above it for everything after its own revision, and asks another when that one is silent, gone or cut off;
  a node without configuration waits until two sources agree, because one alone may be an hour behind.

  Background:
    Given 3 failure domains with 4 entries each that follow the configuration
    And model "a" has been put in force everywhere

  Scenario: Few watch, all know
    When model "b" is put
    Then model "b" is in force everywhere
    And at most 6 nodes have asked the object API

  Scenario: A watch that goes silent delays nothing
    Given the watch of one watcher has gone silent
    When model "b" is put
    Then model "b" is in force at that watcher while its watch is still silent

  Scenario: A node above that is cut off itself is left for another
    Given a watcher hears nobody but still answers the entries below it
    When model "b" is put
    Then model "b" is in force everywhere but there

  Scenario: A link that goes silent is given up for another
    Given the links of all entries to the watchers of their own failure domain go silent
    When model "b" is put
    Then model "b" is in force everywhere

  Scenario: A partition heals
    Given the third failure domain is cut off
    When model "b" is put
    And model "a" is deleted
    And model "b" is put again
    Then the other failure domains know, and the third has "a" alone
    When the partition heals
    Then all nodes have the same configuration

  Scenario: The object API has forgotten the changes since the partition began
    Given every failure domain is cut off from the object API
    When model "b" is put
    And model "a" is deleted
    And the object API forgets its history
    And the partition heals
    Then all nodes have the same configuration

  Scenario: Entries carry a restarted one through an outage
    Given the object API is down for the entries
    When an entry is restarted with nothing kept
    Then it serves the configuration from peers

  Scenario: One peer alone is not believed
    Given the object API is down for the entries
    And all entries but one are gone
    When an entry is restarted with nothing kept
    Then it serves nothing until another peer is back

  Scenario: A peer that is behind a snapshot does not take it back
    Given an entry keeps a snapshot with model "b"
    And the object API is down for the entries
    And all entries but one that never heard of "b" are gone
    When the entry with the snapshot is restarted
    Then it serves nothing until a peer with "b" is back
    And model "b" is in force there

  Scenario: The object API is set back to a backup
    Given the object API is replaced by one that knows only an older "a"
    When the watchers have asked it
    Then model "a" is as it was everywhere

  Scenario: An agent hears of its own objects alone
    Given an agent that asks an entry
    When its assignment and that of another VM are written
    Then the agent has its own assignment and not the other
