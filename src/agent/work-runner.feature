Feature: Work that was cancelled stays cancelled

  A batch item is taken back for an online request. Before the engine has let go of it, its job is
  cancelled. The item was on its way back to the queue; put there again it would run once more, for
  a job that its client was told has stopped.

  Scenario: An item is cancelled while it is being taken back
    Given an agent whose engine runs 1 request at once
    And a batch item runs there
    When an online request comes and the batch item is taken back
    And the batch item is cancelled before the engine has let go of it
    And the engine has let go and the online request has ended
    Then the batch item has run 1 time
    And nothing is left to run

  Scenario: Whoever cancels work is told whether that stopped its run
    # Guards against a run that ended by itself, with its engine perhaps, passing for one that was stopped.
    Given an agent whose engine runs 1 request at once
    And a batch item runs there
    Then cancelling the batch item stops its run
    And cancelling the batch item stops nothing
    When the engine has let go of the batch item
    Then cancelling the batch item stops nothing
