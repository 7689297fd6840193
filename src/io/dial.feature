Feature: TCP connection check
  A process that accepts connections counts as alive. A wrong result would route calls away from a replica that serves, or to one that has terminated.

  Scenario: A listening process
    Given a listener
    Then a connection to it can be established

  Scenario: A terminated process
    # Its VM refuses the connection.
    Given a listener
    When the listener is closed
    Then no connection to it can be established

  Scenario: This process is paused while the connection is established
    # The timeout has expired when this process resumes, but the connection was established in time, so it counts.
    Given a listener
    Then a connection to it can be established within 1 ms though this process is paused for 50 ms

  Scenario: A malformed address
    Then no connection to "nowhere" can be established
