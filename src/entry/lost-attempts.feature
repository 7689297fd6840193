Feature: What a caller is told of attempts whose agents did not answer in time
  An idempotent request goes on at another replica as soon as an attempt is lost. What became of that attempt is asked on.

  Background:
    Given the agents of replicas "a, b" lose their connections, and answer questions only after 60 ms

  Scenario: The lost attempt was run
    # Guards against a caller who is not told that its request was run, though the agent could say so before the request ended.
    Given the ledger of "a" says "done"
    When a request takes 300 ms at "b" and is lost there too
    Then its caller is told that it failed, "run"

  Scenario: The lost attempts were never begun
    # Guards against a request that is called lost, and not sent again by its caller, though it is certain that it has not run.
    Given the ledger of "a" says "revoked"
    And "b" refuses after 300 ms
    When a request is made
    Then its caller is told that it was refused

  Scenario: The lost attempt still runs
    # Guards against an engine that goes on working for a request which is served elsewhere.
    Given the ledger of "a" says "running"
    When a request takes 300 ms at "b" and is lost there too
    Then the attempt at "a" is cancelled
    And its caller is told that it failed, "run"

  Scenario: Nobody can say
    Given the ledger of "a" says "unknown"
    When a request takes 300 ms at "b" and is lost there too
    Then its caller is told that it failed, "unknown"

  Scenario: The ledger knows an attempt whose answer is no longer kept
    # Guards against "unknown" for a run of which the agent itself says that it has begun.
    Given the ledger of "a" says "done", and "a" answers at once that it has no stream
    When a request takes 1 ms at "b" and is lost there too
    Then its caller is told that it failed, "run"

  Scenario: Attempts that may each have ended an engine
    # Guards against a request that ends engine after engine, where the connections are lost before the engines' ends are heard of.
    Given the agents of replicas "a, b, c, d, e" lose their connections, and answer questions only after 60 ms
    When a request is made
    Then it was given to 3 replicas

  Scenario: Attempts that were certainly not begun do not use up the runs
    Given the agents of replicas "a, b, c, d, e" lose their connections, and answer questions only after 1 ms
    And the ledgers of all say "revoked"
    And each connection is lost after 30 ms
    When a request is made
    Then it was given to 5 replicas

  Scenario: Attempts that still run do not use up the runs
    # Guards against a request that is given up although all engines are well, and only the connections to their agents are slow.
    Given the agents of replicas "a, b, c, d, e" lose their connections, and answer questions only after 1 ms
    And the ledgers of all say "running"
    And all find their attempt running when they are told to cancel it
    And each connection is lost after 30 ms
    When a request is made
    Then it was given to 5 replicas

  Scenario: Attempts that ran when they were asked for, and ended before they were cancelled, use up the runs
    # Guards against engines that crash between the two going uncounted.
    Given the agents of replicas "a, b, c, d, e" lose their connections, and answer questions only after 1 ms
    And the ledgers of all say "running"
    And each connection is lost after 30 ms
    When a request is made
    Then it was given to 3 replicas

  Scenario: Attempts that have ended, nobody knows how, use up the runs
    # Guards against taking an attempt that ended with its engine for one that its engine has borne.
    Given the agents of replicas "a, b, c, d, e" lose their connections, and answer questions only after 1 ms
    And the ledgers of all say "done"
    And each connection is lost after 30 ms
    When a request is made
    Then it was given to 3 replicas

  Scenario: An agent's end counts more chunks than have come
    # Guards against an answer without its last pieces that passes for whole, since its end has come.
    Given "a" ends an answer of 2 chunks, of which 1 has come
    And "b" ends an answer of 2 chunks, of which 2 have come
    When a request is made
    Then its caller has the whole answer, of 2 replicas that were given it
