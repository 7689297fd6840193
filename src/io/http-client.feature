Feature: "Not sent" is said only of what was not sent

  A request is under way on a connection when a router reports the host unreachable. The same error
  code means "no connection was made" for a new one. Taken for that, the entry would say "not run"
  of a request that the backend server may have run, or send it to a second one.

  Scenario Outline: <error> is <verdict>
    When a request fails with code "<code>" in the system call "<syscall>"
    Then it counts as <verdict>

    Examples:
      | error                                 | code                    | syscall | verdict       |
      | a refused connection                  | ECONNREFUSED            | connect | not sent      |
      | an unreachable host while connecting  | EHOSTUNREACH            | connect | not sent      |
      | a connection that took too long       | UND_ERR_CONNECT_TIMEOUT |         | not sent      |
      | an unreachable host while reading     | EHOSTUNREACH            | read    | possibly sent |
      | an unreachable network while writing  | ENETUNREACH             | write   | possibly sent |
      | a reset connection                    | ECONNRESET              | read    | possibly sent |
      | a closed connection                   | UND_ERR_SOCKET          |         | possibly sent |
