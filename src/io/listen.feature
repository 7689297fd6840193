Feature: Addresses that are not available yet
  A process that is started right after its predecessor was killed may find its address in use. Nothing starts a process
  that ended because of it, so the service would stay away for good.

  Scenario Outline: The <server> waits for an address in use
    # Guards against a start that ends because a predecessor, or a connection of another process, still has the port.
    Given a port that is in use for 300 ms by "<holder>"
    When the "<server>" starts to listen on it
    Then it listens after at least 300 ms
    And it was told once that it waits, because of "EADDRINUSE"

    Examples:
      | server           | holder       |
      | HTTP server      | a TCP server |
      | datagram channel | a UDP socket |
      | HTTP server      | a connection |

  Scenario: An address that cannot become available is not waited for
    # Guards against a process with wrong settings that neither serves nor ends.
    When an address is bound that fails with "EACCES"
    Then the start fails at once with exit code 69

  Scenario: A connection that cannot be accepted ends no process
    # Guards against a rush of callers that uses up the descriptors of the system and thereby ends a process.
    Given an HTTP server that listens
    When two connections to it cannot be accepted
    Then it still answers
