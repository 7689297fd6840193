Feature: Bytes between failure domains by their cause
  Bytes between failure domains are billed. An operator sees what causes them before choosing what to change.

  Scenario: Bytes are counted by cause and by where they went
    # Guards against a cost that nobody can account for.
    Given a process in "hall-1", a peer in "hall-1" and a replica in "hall-2"
    When it sends the peer 100 bytes of "gateway.state" and twice 300 bytes of "replica" to the replica
    And it sends an address that it does not know 20 bytes of "gateway.state"
    Then it reports:
      | gateway.state | same    | 100 |
      | gateway.state | unknown | 20  |
      | replica       | other   | 600 |

  Scenario: Bytes are reported once
    # Guards against a counter that grows with each scrape.
    Given a process in "hall-1", a peer in "hall-1" and a replica in "hall-2"
    When it sends the peer 100 bytes of "gateway.state" and twice 300 bytes of "replica" to the replica
    And the metrics are read
    Then it reports nothing
