Feature: Whether a connection can be made
  What can be connected to is alive; a wrong word sends calls away from a replica that serves, or to one that is gone.

  Scenario: Somebody listens
    Given a listener
    Then a connection to it can be made

  Scenario: The process is gone
    # Its VM answers that nobody listens there.
    Given a listener
    When it ends
    Then no connection to it can be made

  Scenario: This process stands still while the connection is made
    # The time is over when this process goes on, and the connection has long been made: it counts.
    Given a listener
    Then a connection to it can be made within 1 ms though this process is paused for 50 ms

  Scenario: What is no address is nobody
    Then no connection to "nowhere" can be made
