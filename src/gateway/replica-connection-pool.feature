Feature: Kept connections to a replica

  Scenario: A connection that was idle for too long is not used again, though no timer has closed it
    # Guards against calls that are sent on connections which the replica has closed within a pause of this process, and are lost.
    Given a connection to a replica that has answered a request
    When the process is paused for 4100 ms and another request is sent at once
    Then 2 connections were made

  Scenario: A request that needs a new connection gets one, in place of an idle one where no more may be open
    # Guards against a call that is sent again on a kept connection after another one went silent.
    Given a connection to a replica that has answered a request
    When a request that needs a new connection is sent, with 1 allowed
    Then 2 connections were made
    And 1 of them is open

  Scenario: A request that needs a new connection leaves idle ones to others
    Given a connection to a replica that has answered a request
    When a request that needs a new connection is sent, with 2 allowed
    Then 2 connections were made
    And 2 of them are open

  Scenario: A connection that was idle for a short time is used again
    Given a connection to a replica that has answered a request
    When the process is paused for 100 ms and another request is sent at once
    Then 1 connections were made
