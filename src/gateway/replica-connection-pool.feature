Feature: Kept-alive connections to a replica

  Scenario: A connection that was idle for too long is not reused, even if no timer has closed it
    # Guards against calls that are lost because they are sent on connections that the replica closed during a pause of this process.
    Given a connection to a replica that has answered a request
    When the process is paused for 4100 ms and another request is sent at once
    Then 2 connections were made

  Scenario: A request that needs a new connection gets one, and replaces an idle one at the limit
    # Guards against a call that is repeated on a kept-alive connection after another one became unresponsive.
    Given a connection to a replica that has answered a request
    When a request that needs a new connection is sent, with 1 allowed
    Then 2 connections were made
    And 1 of them is open

  Scenario: A request that needs a new connection leaves idle ones to others
    Given a connection to a replica that has answered a request
    When a request that needs a new connection is sent, with 2 allowed
    Then 2 connections were made
    And 2 of them are open

  Scenario: A connection that was idle for a short time is reused
    Given a connection to a replica that has answered a request
    When the process is paused for 100 ms and another request is sent at once
    Then 1 connections were made
