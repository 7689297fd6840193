Feature: Malformed messages and lists are refused where they come in
  A process of another version at a peer's address sends a message whose fields are missing, or the VM list answers with something else.
  Taken over, it would break a process later, when another node's question makes it read what it kept.
  A message is answered as invalid and changes nothing; a list is not taken, and the one before stands.

  Scenario Outline: A message: <method> with <params>
    Given a node that offers "<method>"
    When it is called with '<params>'
    Then the call is refused and the method was not run

    Examples:
      | method         | params                                                       |
      | config.changes | {"node":"x","since":0,"waitMs":0,"counts":[null]}            |
      | config.changes | {"node":"x","since":"a","waitMs":0}                          |
      | batch.renew    | {"shard":"0","fence":null,"round":1,"expiresInMs":1,"keep":[]} |
      | attempt.cancel | {"key":null}                                                 |

  Scenario: A whole message
    Given a node that offers "config.changes"
    When it is called with '{"node":"x","since":0,"waitMs":0,"counts":[{"version":1,"nodes":1}]}'
    Then the method was run

  Scenario Outline: A VM list: <body>
    When the VM list answers '<body>'
    Then the list counts as not read

    Examples:
      | body                                                  |
      | {"vms":{}}                                            |
      | {"vms":[null]}                                        |
      | {"vms":[{"name":"e","role":"backend","state":"live"}]} |
      | []                                                    |
      | null                                                  |
