Feature: Kept connections to a replica

  Scenario: A connection that was idle for too long is not used again, though no timer has closed it
    # Guards against calls that are sent on connections which the replica has closed within a pause of this process, and are lost.
    Given a connection to a replica that has answered a request
    When the process is paused for 4100 ms and another request is sent at once
    Then 2 connections were made

  Scenario: A connection that was idle for a short time is used again
    Given a connection to a replica that has answered a request
    When the process is paused for 100 ms and another request is sent at once
    Then 1 connections were made
