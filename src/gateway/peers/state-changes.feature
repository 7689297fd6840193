Feature: Changes between complete announcements
  A front sends its complete state to its peers several times a second, and in between only what has changed. Calls are
  placed by the counts that result, so they must be those of the sender again soon after any loss.

  Rule: A front reads the changes of a peer

    Background:
      Given a front that has received the complete state of "front-2": 2 calls at "r1", 1 call at "r2"

    Scenario: A change replaces the counts that it lists and leaves the others
      # Guards against calls that are sent to a replica that is full, or not sent to one that is free.
      When "front-2" sends that it has 3 calls at "r1" and 0 calls at "r2"
      Then the front counts 3 calls at "r1" and 0 calls at "r2"

    Scenario: A count that is back at its value of the last complete state
      # Guards against a slot that looks taken until the next complete state, after a short call.
      When "front-2" sends that it has 1 call at "r3" and 4 calls at "r1"
      And "front-2" sends that it has 0 calls at "r3" and 2 calls at "r1"
      Then the front counts 0 calls at "r3" and 2 calls at "r1"

    Scenario: A change is lost
      # Guards against a wrong count that lasts until the next complete state; the next change is much sooner.
      When "front-2" sends that it has 5 calls at "r1" and 0 calls at "r2", which is lost
      And "front-2" sends that it has 1 call at "r3"
      Then the front counts 5 calls at "r1" and 0 calls at "r2"
      And the front counts 1 call at "r3" and 5 calls at "r1"

    Scenario: A change arrives after a later one
      # Guards against an older count that replaces a newer one.
      When "front-2" sends that it has 5 calls at "r1" and 0 calls at "r2", which is delayed
      And "front-2" sends that it has 3 calls at "r1"
      And the delayed message arrives
      Then the front counts 3 calls at "r1" and 0 calls at "r2"

    Scenario: A complete state is lost
      # Guards against a wrong count that lasts longer than until the complete state after it.
      When "front-2" sends that it has 5 calls at "r1"
      And "front-2" sends its complete state, which is lost
      And "front-2" sends that it has 1 call at "r3"
      Then the front counts 1 call at "r3" and 5 calls at "r1"
      When "front-2" sends that it has 0 calls at "r3" and 2 calls at "r1", which is lost
      And "front-2" sends its complete state
      Then the front counts 0 calls at "r3" and 2 calls at "r1"

    Scenario: A change of a peer's earlier start arrives after its restart
      # Guards against calls of a terminated process that occupy slots.
      When "front-2" sends that it has 5 calls at "r1", which is delayed
      And "front-2" restarts without calls and sends its complete state
      And the delayed message arrives
      Then the front counts 0 calls at "r1" and 0 calls at "r2"

    Scenario: The first complete state after a peer's restart is lost
      # Guards against changes of the new start that are added to the counts of the earlier one.
      When "front-2" restarts without calls and sends its complete state, which is lost
      And "front-2" sends that it has 1 call at "r3"
      Then the front counts 0 calls at "r3" and 2 calls at "r1"
      When "front-2" sends its complete state
      Then the front counts 1 call at "r3" and 0 calls at "r1"

    Scenario: A peer of which no complete state was received
      # Guards against a peer without address and jobs, whose jobs another process would claim.
      When an unknown peer sends a change
      Then the front lists only "front-2"

    Scenario: What a complete state confirms is not confirmed again by later changes
      # Guards against a configuration that is taken for current for as long as a peer sends changes.
      When "front-2" sends its complete state with a check of the configuration
      And "front-2" sends that it has 3 calls at "r1"
      Then the front has read 1 check

  Rule: A front sends changes where they are read

    Scenario: Peers of this build and of an earlier one
      # Guards against a peer of an earlier build that doesn't see changes until the next complete state.
      Given a front with a peer that reads changes and a peer of an earlier build
      When its load changes continuously for 800 ms
      Then the peer that reads changes was sent a complete state at least every 350 ms, and more changes than that
      And the peer of the earlier build was sent only complete states, as many as both together

    Scenario: A registered process that no message has come from yet
      # Guards against a process that has just started and knows of this one, and of its streams, a quarter second late.
      Given a front with a peer that reads changes and a peer of an earlier build
      And a registered process that is not known as a peer
      When its load changes continuously for 800 ms
      Then the registered process was sent as many complete states as the peer of the earlier build

    Scenario: A peer joins under load
      # Guards against a peer that has to wait for the counts and jobs of the others.
      Given a front with a peer that reads changes and a peer of an earlier build
      When its load changes continuously for 100 ms
      And a peer that reads changes joins
      Then it is sent a complete state within 120 ms

    Scenario Outline: Bytes that a front announces, by the number of fronts
      # Guards against announcements that cost more than the streams. At 18 fronts, which send often, they are to be halved.
      Given a front with 10 requests at as many replicas, 20 of which begin or end each second
      Then it announces to <peers> peers at most <share> % of the bytes of complete states

      Examples:
        | peers | share |
        | 17    | 50    |
        | 99    | 85    |
        | 299   | 100   |
        | 889   | 100   |

    Scenario: Announcements of 100 fronts leave a small link to the streams
      # Guards against calls that wait behind announcements; the smallest links of a front carry 2,600 KB a second.
      Given a front with 10 requests at as many replicas, 20 of which begin or end each second
      Then it announces to 99 peers at most 650 KB a second
