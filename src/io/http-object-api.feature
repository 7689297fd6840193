Feature: Outcome of failed calls to the object API

  A change by an operator, or the commit of a chunk, is sent, and the response is an error or never
  arrives. If the change may have taken effect, its outcome is unknown, and the writer reads the
  object back. If it cannot have taken effect, the outcome is unavailable, and the writer may report
  that nothing was done. If the first were reported as the second, a later "nothing was accepted"
  would be false.

  Scenario Outline: A change answered by <answer> has the outcome <kind>
    Given an object API that answers with <answer>
    When an object is created through it
    Then the outcome of the change is "<kind>"

    Examples:
      | answer           | kind        |
      | status 500       | unknown     |
      | status 502       | unknown     |
      | status 200       | unknown     |
      | a cut connection | unknown     |
      | silence          | unknown     |
      | status 503       | unavailable |
      | status 412       | conflict    |
      | no listener      | unavailable |

  Scenario: An unrelated server at the address
    Given an object API that answers with status 200
    When a list is read from it
    Then the outcome of the read is "unavailable"

  Scenario: An object API that answers later than the time limit is read nevertheless
    # Guards against a process that never reads its configuration, since it discards each answer of a slow object API.
    Given an object API that answers after 250 ms, and a time limit of 100 ms
    When lists are read from it one after the other until one succeeds
    Then one of the first 6 reads has succeeded

  Scenario: Silence does not lengthen the time limit
    # Guards against an outage that is detected later and later, since its calls are waited for.
    Given an object API that answers with silence
    And a time limit of 100 ms
    When 4 lists are read from it
    Then each read has failed within 250 ms

  Scenario: The time limit is the usual one again after fast answers
    # Guards against a lost call that is detected late because the object API was slow once.
    Given an object API that answers after 250 ms, and a time limit of 100 ms
    When lists are read from it one after the other until one succeeds
    And it answers at once to 20 reads, and then not at all
    And 1 list is read from it
    Then each read has failed within 250 ms
