Feature: Classification of failed requests and timeouts of the HTTP client

  A request is in progress on a connection when a router reports the host unreachable. During a
  connection attempt the same error code means that nothing was sent. If the two were confused, the
  entry would report "not run" for a request that the backend server may have run, or send it to a
  second one.

  Scenario Outline: <error> is <verdict>
    When a request fails with code "<code>" in the system call "<syscall>"
    Then it is classified as <verdict>

    Examples:
      | error                                 | code                    | syscall | verdict       |
      | a refused connection                  | ECONNREFUSED            | connect | not sent      |
      | an unreachable host while connecting  | EHOSTUNREACH            | connect | not sent      |
      | a connection that took too long       | UND_ERR_CONNECT_TIMEOUT |         | not sent      |
      | an unreachable host while reading     | EHOSTUNREACH            | read    | possibly sent |
      | an unreachable network while writing  | ENETUNREACH             | write   | possibly sent |
      | a reset connection                    | ECONNRESET              | read    | possibly sent |
      | a closed connection                   | UND_ERR_SOCKET          |         | possibly sent |

  Scenario: This process is paused beyond the timeout, and the response has arrived
    # Guards against timing out a request whose response has arrived: after a pause, timers run before sockets.
    Given a server that pauses this process for 1200 ms after its response
    When a request is sent to it with a timeout of 1000 ms
    Then the response text is "ok"

  Scenario: This process is paused beyond the time limit of the abort signal, and the response has arrived
    # Guards against the same failure when the time limit is an abort signal.
    Given a server that pauses this process for 1200 ms after its response
    When a request is sent to it with a timeout of 10000 ms and an abort signal of 1000 ms
    Then the response text is "ok"

  Scenario: This process is paused beyond the time limit of the abort signal, and the rest of the response has arrived
    # Guards against the same failure for a response of which a part was read before.
    Given a server that pauses this process for 1200 ms after the second half of its response
    When a request is sent to it with a timeout of 10000 ms and an abort signal of 1000 ms
    Then the response text is "ok"

  Scenario: This process is paused, and the response arrives soon after
    # Guards against timing out because of a pause of this process when the response needs some more turns of the event loop.
    Given a server that responds 50 ms after this process was paused for 600 ms
    When a request is sent to it with a timeout of 400 ms
    Then the response text is "ok"

  Scenario: This process is paused, and the rest of the response arrives soon after
    # Guards against the same failure within a response.
    Given a server that sends the second half of its response 50 ms after this process was paused for 600 ms
    When a request is sent to it with a timeout of 10000 ms, and 400 ms for the complete response
    Then the response text is "ok"

  Scenario: An incomplete response
    Given a server that sends only the first half of its response
    When a request is sent to it with a timeout of 10000 ms, and 400 ms for the complete response
    Then the response is aborted before it is complete

  Scenario: An unresponsive server and an abort signal with a time limit
    Given a server that never responds
    When a request is sent to it with a timeout of 10000 ms and an abort signal of 30 ms
    Then the request is aborted
