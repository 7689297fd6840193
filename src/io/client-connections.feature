Feature: What the clients of a server may hold
  A connection has one request handled at a time, however many its client sends ahead. What all clients of a process hold
  is bounded: what is refused has not been handled and never will be, and short requests are refused last.

  Scenario Outline: A client sends <count> requests ahead and reads
    # Guards against proper clients that are refused, and against requests that are handled twice or out of order.
    Given a server that takes 2 ms for each request
    When a client sends <count> requests ahead on one connection
    Then it receives <count> answers in the order of its requests
    And each was handled once, and never two at a time

    Examples:
      | count |
      | 3     |
      | 50    |

  Scenario: A client sends more requests ahead than may be unanswered
    # Guards against requests that are handled after their connection was closed.
    Given a server that does not answer
    When a client sends 65 requests ahead on one connection
    Then the server closes its connection
    And 1 request was handled

  Scenario: A client sends many requests in one read
    # Guards against requests that are parsed only to be dropped: they take memory and time, thousands a read.
    Given a server that does not answer
    When a client sends 1000 requests ahead on one connection
    Then the server closes its connection
    And at most 65 requests were parsed

  Scenario: A client leaves before its requests are handled
    # Guards against work that is begun for a client that has left.
    Given a server that takes 50 ms for each request
    When a client sends 5 requests ahead on one connection, and closes it
    Then 1 request was handled

  Scenario: A request waits behind an answer that closes the connection
    # Guards against a request that is handled though no answer to it can be sent.
    Given a server that takes 20 ms for each request
    When a client sends 2 requests ahead, the first with "Connection: close"
    Then the server closes its connection
    And 1 request was handled

  Scenario Outline: The library would answer, <case>
    # Guards against answers that the library sends without any count.
    Given a server that takes 0 ms for each request
    When a client sends "<lines>"
    Then it receives status <status>
    And 0 requests were handled

    Examples:
      | case                           | lines                                            | status |
      | no host                        | GET / HTTP/1.1                                   | 400    |
      | an expectation nobody can meet | GET / HTTP/1.1 ~ Host: a ~ Expect: a-miracle     | 417    |

  Scenario: A client waits for 100-continue
    # Guards against a client that never sends its body.
    Given a server that takes 0 ms for each request
    When a client sends "POST / HTTP/1.1 ~ Host: a ~ Content-Length: 3 ~ Expect: 100-continue" and awaits "100 Continue" before the body "abc"
    Then it receives status 200
    And the server has received the body "abc"

  Scenario: A body in chunks of one byte
    # Guards against a body whose pieces take many times its memory, or that is put together wrongly.
    Given a server that takes 0 ms for each request
    When a client sends a body of 100000 bytes in chunks of one byte
    Then it receives status 200
    And the server has received it whole, and held at most 400000 bytes for it

  Scenario: A body that is too large
    # Guards against a body that is kept beyond its limit.
    Given a server that takes 0 ms for each request, with bodies of 1000 bytes at most
    When a client sends a body of 100000 bytes in chunks of one byte
    Then the server has rejected the body as too large, and held at most 4000 bytes for it

  Scenario Outline: Too much is held, and a client sends a <size> body
    # Guards against a client that must send its body only to be refused, and short requests that are refused first.
    Given a server that does not answer, whose process may hold 200000 bytes
    And clients hold 140000 bytes of it
    When a client announces a body of <bytes> bytes
    Then <outcome>

    Examples:
      | size  | bytes | outcome                                      |
      | long  | 30000 | it is refused with 503 and a time to retry   |
      | short | 1000  | its request is handled                       |

  Scenario: A client that sends ahead holds most, and another client sends a short request
    # Guards against clients that keep all others out by requests that wait on their connections.
    Given a server that does not answer, whose process may hold 200000 bytes
    When a client sends 12 requests ahead on one connection
    And a client announces a body of 1000 bytes
    Then its request is handled
    And the first client's connection is closed, with 1 request handled

  Scenario: A client alone holds too much by requests sent ahead
    # Guards against what a closed connection held being counted, or its responses being kept, for ever.
    Given a server that does not answer, whose process may hold 50000 bytes
    When a client sends 5 requests ahead on one connection
    Then the server closes its connection
    And nothing is held any more

  Scenario: Bodies exceed the limit together while they are received
    # Guards against memory that grows with the number of bodies, and against a small body that gives way to a large one.
    Given a server that does not answer, whose process may hold 200000 bytes
    When a client sends 100 bytes of a body without a length
    And another client sends 300000 bytes of a body without a length
    Then it is refused with 503 and a time to retry
    And the first one's body is still received

  Scenario: A body that hardly arrives
    # Guards against clients that keep a place for ever.
    Given a server that does not answer
    When a client announces a body of 50000 bytes
    And 30 seconds pass at the server
    Then it receives status 408

  Scenario: An answer that nobody reads
    # Guards against answers that are kept for ever.
    Given a server whose answers have 8000000 bytes
    When a client sends a request and reads nothing
    And 31 seconds pass at the server
    Then the server closes its connection

  Scenario: More connections than allowed
    # Guards against a crowd of silent connections that keeps out others, or has requests in progress closed.
    Given a server that takes 300 ms for each request, with 3 connections at most
    And a connection with a request in progress, one that is idle, and one that has sent nothing
    When a client connects
    Then the connection that has sent nothing is closed
    And when another client connects, the idle one is closed
    And both clients' requests and the one in progress are answered
