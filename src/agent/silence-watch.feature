Feature: A connection from agent to engine goes silent
  In the middle of answers, or while they lie idle, the agent's connections to its engine go silent for good; new ones work. No
  error ever comes, so that a batch item would never end and a caller would wait out its deadline. The agent asks the engine on
  a new connection what it has, ends the run as lost, and whoever wants the answer sends it again.

  Scenario: In the middle of an answer
    Given an engine with room for 4, and an agent that looks into 200 ms of quiet
    When a run of 4000 tokens has begun and the connections go silent
    Then the run ends as lost, and the engine has stopped it
    And the next run is whole

  Scenario: While it lay idle
    Given an engine with room for 4, and an agent that looks into 200 ms of quiet
    When a run is whole, the connections go silent, and the next run begins
    Then the run ends as lost
    And the next run is whole

  Scenario: An engine that is full is not silent
    The second run waits in the engine for much longer than the quiet that is looked into. It is still there, and it answers.
    Given an engine with room for 1, and an agent that looks into 50 ms of quiet
    When a run of 100 tokens has begun and another waits behind it
    Then both runs are whole
