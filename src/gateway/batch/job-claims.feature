Feature: Which process runs a job
  A job that two processes run takes slots twice; one that no process runs waits. A process that shuts down keeps its
  jobs until it has handed them over: a process that claimed them earlier would start their texts from the beginning.

  Background:
    Given job "j1" is open
    And process "front-1" has listened long enough

  Scenario: A job of a peer that is leaving is not claimed
    # The peer has announced that it is leaving, and is still writing the progress of its items.
    Given peer "front-2" runs "j1" and is leaving
    When the claims are reviewed
    Then "front-1" does not run "j1"

  Scenario: A job that a leaving peer has released is claimed
    Given peer "front-2" runs "j1" and is leaving
    And peer "front-2" runs nothing and is leaving
    When the claims are reviewed
    Then "front-1" runs "j1"

  Scenario: A job that was handed over stays claimed although its former holder still announces it
    # The former holder announces the release only with its next message.
    Given peer "front-2" runs "j1" and is leaving
    When "j1" is handed over to "front-1"
    And the claims are reviewed
    Then "front-1" runs "j1"

  Scenario: A process that was paused listens to its peers before it claims a job
    # Guards against items that run twice: right after a pause, what a peer has announced of its jobs is still unread.
    Given the claims were reviewed 5 ms before "j1" was open
    And process "front-1" was paused for 3000 ms
    When the claims are reviewed
    Then "front-1" does not run "j1"
    Given process "front-1" continues for 700 ms
    When the claims are reviewed
    Then "front-1" runs "j1"

  Scenario: A process that has loaded the addresses of its peers late listens to them first
    # Guards against items that run twice, and once more than their route allows, since two processes that started while the object API was slow take the same job.
    Given process "front-1" did not have the addresses of its peers until now
    When the claims are reviewed
    Then "front-1" does not run "j1"
    Given process "front-1" has listened long enough
    When the claims are reviewed
    Then "front-1" runs "j1"
