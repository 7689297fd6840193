Feature: Validation of settings
  An operator starts a program with a settings file that contains errors.
  The program does not start; all errors are reported together, one line each, with position and key.
  An error that fell back to a default would appear only later, as unexpected behaviour of one VM.

  Scenario: All errors are reported together, in the order of their position
    When a program loads these settings
      """
      {
        // A host name instead of an IP address.
        "listen": "host:80",
        "timeoutMs": "5s",
        "tries": 1.5,
        "metrics": {"adress": "10.0.0.9:8125"},
        "logLevel": "loud",
        "behavior": "drains", /* A misspelled key. */
        "backend": {"type": "engin", "maxRunning": 4},
      }
      """
    Then these problems are reported
      | 1:1  | queueBytes      | is missing: wants a number of bytes                                                                  |
      | 3:3  | listen          | wants "ip:port" with an IP number, for instance "10.0.0.1:8080" or "[fd00::1]:8080"                 |
      | 4:3  | timeoutMs       | wants a number of milliseconds, not the string "5s"                                                  |
      | 5:3  | tries           | wants a whole number, not 1.5                                                                        |
      | 6:3  | metrics.address | is missing: wants a string                                                                           |
      | 6:15 | metrics.adress  | is not a known key                                                                                   |
      | 7:3  | logLevel        | wants one of "debug", "info", "warn", "error", not "loud"                                            |
      | 8:3  | behavior        | is not a known key                                                                                   |
      | 9:15 | backend.type    | wants one of "engine", "service", not "engin"                                                        |

  Scenario: A syntax error is reported with its position
    When a program loads these settings
      """
      {"listen": "10.0.0.1:80"
       "queueBytes": 1}
      """
    Then these problems are reported
      | 2:2 | (file) | syntax error: expected "," |

  Scenario: A duplicate key is rejected, since one of its values would be lost
    When a program loads these settings
      """
      {"listen": "10.0.0.1:80", "queueBytes": 1,
       "queueBytes": 2}
      """
    Then these problems are reported
      | 2:2 | queueBytes | stands twice in the same object |

  Scenario: A file that does not exist
    When a program loads settings that do not exist
    Then the settings cannot be read: "there is no such file"

  Scenario: Comments and trailing commas are allowed, and defaults are applied
    When a program loads these settings
      """
      {
        "listen": "[::1]:0", // Any free port.
        "queueBytes": 1048576,
      }
      """
    Then the settings are
      | listen     | [::1]:0 |
      | queueBytes | 1048576 |
      | tries      | 2       |
      | timeoutMs  | 1000    |
      | logLevel   | info    |

  Scenario: Every built program reports an unknown setting by its key
    When each built program that takes settings is started with an unknown key "surprise"
    Then each reports "surprise", exits with 78 and prints no stack trace
