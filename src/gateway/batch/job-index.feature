Feature: Which jobs are admitted
  A job was accepted if it fits by the records that precede its own. Each process finds this out by itself, so all must
  find the same, whatever each of them knows besides and however it has come by the records.

  Scenario: A job whose room is left by an end that is not in the records
    # Guards against an accepted job that no other process knows: the one that accepted it counted an end before its record.
    Given 2 processes that follow the records of a route with a limit of 100 tokens
    And job "a" of 60 tokens is written and received
    When job "a" is asked to end at process 1
    And job "b" of 60 tokens is written and received
    Then job "b" is admitted at no process
    And job "a" is not open at process 1
    When the end of job "a" is written and received
    And job "c" of 60 tokens is written and received
    Then job "c" is admitted at each process

  Scenario: A job that keepers hold for one process
    # Guards against a job that one process refuses and all others admit, since only that one counts what keepers hold for it.
    Given 2 processes that follow the records of a route with a limit of 100 tokens
    And keepers hold job "a" of 60 tokens for process 1
    When job "b" of 60 tokens is written and received
    Then job "b" is admitted at each process

  Scenario: A requested end outlasts a new list of the records
    # Guards against items that begin after their job was ended, since the list does not have its end yet.
    Given 2 processes that follow the records of a route with a limit of 100 tokens
    And job "a" of 60 tokens is written and received
    When job "a" is asked to end at process 1
    And process 1 lists the records again
    Then job "a" is not open at process 1

  Scenario Outline: All processes admit the same jobs, seed <seed>
    # Guards against an admission by what one process knows or by how it has read the records.
    Given 3 processes that follow the records of a route with a limit of 100 tokens
    Then each of 300 random series with seed <seed> ends with the same jobs admitted at all processes

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: An accepted job stays admitted while others are removed, seed <seed>
    # Guards against a job that is unknown after a restart, since its position is judged without the results of a job that
    # was being removed.
    Given 3 processes that follow the records of a route with a limit of 100 tokens
    Then each of 300 random series with removals and seed <seed> leaves each accepted job admitted at all processes

    Examples:
      | seed |
      | 1    |
      | 2    |
