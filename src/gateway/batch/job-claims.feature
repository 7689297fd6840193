Feature: Who runs a job
  A job that two processes run costs places twice; one that nobody runs waits. A process that shuts down keeps its
  jobs until it has handed them over: whoever took them before would begin their texts anew.

  Background:
    Given job "j1" is open
    And process "front-1" has listened long enough

  Scenario: A job of a peer that is leaving is not taken from it
    # The peer has said that it leaves, and is still writing down what its items have brought.
    Given peer "front-2" runs "j1" and is leaving
    When the claims are reviewed
    Then "front-1" does not run "j1"

  Scenario: A job that a leaving peer has let go is taken
    Given peer "front-2" runs "j1" and is leaving
    And peer "front-2" runs nothing and is leaving
    When the claims are reviewed
    Then "front-1" runs "j1"

  Scenario: A job that is handed over is kept, though its former holder still names it
    # The former holder says that it has let go only with its next message.
    Given peer "front-2" runs "j1" and is leaving
    When "j1" is handed over to "front-1"
    And the claims are reviewed
    Then "front-1" runs "j1"

  Scenario: A process that was paused listens to its peers before it takes a job
    # Guards against items that run twice: right after a pause, what a peer has said of its jobs is still unread.
    Given the claims were reviewed 5 ms before "j1" was open
    And process "front-1" was paused for 3000 ms
    When the claims are reviewed
    Then "front-1" does not run "j1"
    Given process "front-1" goes on for 700 ms
    When the claims are reviewed
    Then "front-1" runs "j1"

  Scenario: A process that has learnt late where its peers are listens to them first
    # Guards against items that run twice, and once more than their route allows, since two processes that started while the object API was slow take the same job.
    Given process "front-1" did not know where its peers are until now
    When the claims are reviewed
    Then "front-1" does not run "j1"
    Given process "front-1" has listened long enough
    When the claims are reviewed
    Then "front-1" runs "j1"
