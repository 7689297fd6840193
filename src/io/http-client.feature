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

  Scenario: This process is paused until the time for an answer is over, and the answer has come
    # Guards against requests that are given up although their answers have come: timers run before sockets.
    Given a server after whose answer this process is paused for 1200 ms
    When a request is sent to it that may take 1000 ms
    Then the request is answered with "ok"

  Scenario: This process is paused until the caller's own limit is over, and the answer has come
    # Guards against the same where a limit is given as a signal.
    Given a server after whose answer this process is paused for 1200 ms
    When a request is sent to it that may take 10000 ms, under a limit of 1000 ms
    Then the request is answered with "ok"

  Scenario: This process is paused until the caller's own limit is over, and the rest of the answer has come
    # Guards against the same for an answer of which a part was read before.
    Given a server after the second half of whose answer this process is paused for 1200 ms
    When a request is sent to it that may take 10000 ms, under a limit of 1000 ms
    Then the request is answered with "ok"

  Scenario: This process is paused, and the answer comes soon after
    # Guards against requests that are given up for a pause of this process, with an answer that takes some turns more.
    Given a server that answers 50 ms after this process was paused for 600 ms
    When a request is sent to it that may take 400 ms
    Then the request is answered with "ok"

  Scenario: This process is paused, and the rest of the answer comes soon after
    # Guards against the same within the answer.
    Given a server that answers the second half 50 ms after this process was paused for 600 ms
    When a request is sent to it that may take 10000 ms, and 400 ms for the whole answer
    Then the request is answered with "ok"

  Scenario: A server that answers only in part
    Given a server that answers only the first half
    When a request is sent to it that may take 10000 ms, and 400 ms for the whole answer
    Then the request has no whole answer

  Scenario: A server that does not answer, under a limit
    Given a server that never answers
    When a request is sent to it that may take 10000 ms, under a limit of 30 ms
    Then the request is aborted
