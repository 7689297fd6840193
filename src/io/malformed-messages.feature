Feature: Malformed messages and VM lists are rejected on receipt
  A process of another version at the address of a peer sends a message with missing fields, or the VM list returns unrelated data.
  If it were accepted, a process would fail later, when a request of another node makes it read the stored data.
  A malformed message is answered with an error and changes nothing; a malformed list is rejected, and the previous one remains in use.

  Scenario Outline: A malformed message: <method> with <params>
    Given a node that offers "<method>"
    When it is called with '<params>'
    Then the call is rejected and the method was not run

    Examples:
      | method         | params                                                       |
      | config.changes | {"node":"x","since":0,"waitMs":0,"counts":[null]}            |
      | config.changes | {"node":"x","since":"a","waitMs":0}                          |
      | batch.renew    | {"shard":"0","fence":null,"round":1,"expiresInMs":1,"keep":[]} |
      | attempt.cancel | {"key":null}                                                 |
      | gateway.stateChanges | {"member":"x","startedAt":1,"seq":2,"loads":[{"replica":"r"}]} |
      | gateway.stateChanges | {"member":"x","startedAt":1,"seq":2}                    |

  Scenario Outline: A body that is no message: <body>
    # Guards against a line in the log for each, and against an answer that says nothing.
    Given a node that offers "attempt.cancel"
    When it is sent '<body>'
    Then it answers 400

    Examples:
      | body     |
      | null     |
      | [null]   |
      | 5        |
      | no JSON  |
      |          |

  Scenario Outline: A datagram that is no message: <bytes>
    # Guards against a process that ends by one datagram of a stranger.
    Given a channel that takes "gateway.state"
    When it receives the datagram '<bytes>'
    Then it has rejected 1 datagram, and goes on

    Examples:
      | bytes                                                          |
      | no JSON                                                        |
      |                                                                |
      | null                                                           |
      | 5                                                              |
      | [null]                                                         |
      | {}                                                             |
      | {"jsonrpc":"2.0","method":"toString","params":{}}              |
      | {"jsonrpc":"2.0","method":"gateway.state"}                     |
      | {"jsonrpc":"2.0","method":"gateway.state","params":null}       |
      | {"jsonrpc":"2.0","method":["gateway.state"],"params":{}}       |

  Scenario: A valid message
    Given a node that offers "config.changes"
    When it is called with '{"node":"x","since":0,"waitMs":0,"counts":[{"version":1,"nodes":1}]}'
    Then the method was run

  Scenario Outline: A malformed VM list: <body>
    When the VM list returns '<body>'
    Then reading the list fails

    Examples:
      | body                                                  |
      | {"vms":{}}                                            |
      | {"vms":[null]}                                        |
      | {"vms":[{"name":"e","role":"backend","state":"live"}]} |
      | []                                                    |
      | null                                                  |
