Feature: Whether a job that the object API does not have may be held
  Up to one disk may be lost, so a held job is on two.

  Scenario Outline: Keepers answer <answers>: <may be held>
    # Guards against an accepted job that is reported as unknown, and against a 503 that never ends.
    Given a search among keepers that answer "<answers>"
    When it has been asked again and again for <seconds> s
    Then a job may be held: <may be held>

    Examples:
      | answers               | seconds | may be held |
      | no, no, no            | 0       | no          |
      | no, yes, no           | 0       | yes         |
      | no, silent, no        | 0       | yes         |
      | no, silent, no        | 29      | yes         |
      | no, silent, no        | 31      | no          |
      | no, silent, silent    | 31      | yes         |
      | silent, silent        | 120     | yes         |
      | none registered       | 0       | no          |
      | not read yet          | 120     | yes         |

  Scenario: A keeper that was back for a moment
    Given a search among keepers that answer "no, silent"
    When it has been asked again and again for 20 s
    And the keepers answer "no, no" once
    And the keepers answer "no, silent" from then on
    When it has been asked again and again for 20 s
    Then a job may be held: yes

  Scenario: A silence that nobody has looked at
    Given a search among keepers that answer "no, silent"
    When it has been asked again and again for 1 s
    And 60 s pass in which it is not asked
    Then a job may be held: yes
