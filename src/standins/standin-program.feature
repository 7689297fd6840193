Feature: The program of the stand-ins
  A misspelt setting that ran as its default would make a trial prove nothing, and nobody would see it.
  The program refuses it by its place and key before it listens, as all programs do.

  Scenario Outline: A wrong setting is told by its key
    When the stand-in "<command>" is started with an unknown key "surprise"
    Then the program names "surprise", exits with 78 and prints no stack trace

    Examples:
      | command      |
      | object-api   |
      | vm-list      |
      | weight-store |
      | engine       |
      | service      |

  Scenario: It tells where it listens and stops on SIGTERM
    When the stand-in "service" is started on any port
    Then it answers at the address that it printed
    And it exits with 0 on SIGTERM
