Feature: The demo
  A new user starts it to see what the system does, often with its output piped to another program.

  Scenario: It ends by itself and says so at once
    # Whoever pipes a program that goes on for ever sees nothing and does not know whether to wait.
    When the demo runs
    Then its first line says that it ends by itself
    And it ends with exit code 0
