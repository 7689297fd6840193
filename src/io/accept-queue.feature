Feature: Connections that wait to be accepted
  A process without enough processor time accepts connections more slowly than callers open them.

  Scenario: Callers of a busy process learn soon that it cannot serve them
    # Guards against a queue in which each caller waits until it gives up, so that the process works for nobody.
    Given an HTTP server that takes 20 ms of its event loop for each request
    When 200 callers connect at once and send a request
    Then each is answered or reset within 1000 ms
    And at least 5 are answered
    And a caller that comes then is answered within 200 ms

  Scenario: A process that keeps up resets nobody
    # Guards against callers that are turned away by a process that has time for them.
    Given an HTTP server that takes 1 ms of its event loop for each request
    When 100 callers connect one after the other for 2 seconds and send a request
    Then each is answered or reset within 1000 ms
    And at least 100 are answered

  Scenario: A process that has stood still serves those who came meanwhile
    # Guards against callers that are turned away after a pause by a process that has time for them.
    Given an HTTP server that takes 1 ms of its event loop for each request
    When 50 callers connect at once and send a request
    Then each is answered or reset within 1000 ms
    And at least 50 are answered

  Scenario: A server that cannot listen again at once
    # Guards against a process that accepts nobody any more, or stands still, after an attempt to listen has failed.
    Given an HTTP server that takes 20 ms of its event loop for each request
    And its next attempt to listen fails with "EMFILE"
    When 100 callers connect at once and send a request
    Then each is answered or reset within 1000 ms
    And a caller that comes then is answered within 200 ms

  Scenario: The end of a server is not undone
    # Guards against a process that listens again after its shutdown has begun.
    Given an HTTP server that takes 20 ms of its event loop for each request
    When 100 callers connect at once and send a request
    And the server is closed 200 ms later
    Then it does not listen any more
