Feature: Settings that are wrong
  An operator starts a program with a settings file that has mistakes in it.
  Nothing starts; all mistakes are told at once, one line each, with the place and the key.
  A mistake that ran as a default would show only later, as a strange behaviour of one VM.

  Scenario: All mistakes are told at once, in the order of their lines
    When a program loads these settings
      """
      {
        // The address must be a number.
        "listen": "host:80",
        "timeoutMs": "5s",
        "tries": 1.5,
        "metrics": {"adress": "10.0.0.9:8125"},
        "logLevel": "loud",
        "behavior": "drains", /* A typing error. */
        "backend": {"type": "engin", "maxRunning": 4},
      }
      """
    Then these problems are told
      | 1:1  | queueBytes      | is missing: wants a number of bytes                                                                  |
      | 3:3  | listen          | wants "ip:port" with an IP number, for instance "10.0.0.1:8080" or "[fd00::1]:8080"                 |
      | 4:3  | timeoutMs       | wants a number of milliseconds, not the string "5s"                                                  |
      | 5:3  | tries           | wants a whole number, not 1.5                                                                        |
      | 6:3  | metrics.address | is missing: wants a string                                                                           |
      | 6:15 | metrics.adress  | is not a known key                                                                                   |
      | 7:3  | logLevel        | wants one of "debug", "info", "warn", "error", not "loud"                                            |
      | 8:3  | behavior        | is not a known key                                                                                   |
      | 9:15 | backend.type    | wants one of "engine", "service", not "engin"                                                        |

  Scenario: A syntax error is told by its place
    When a program loads these settings
      """
      {"listen": "10.0.0.1:80"
       "queueBytes": 1}
      """
    Then these problems are told
      | 2:2 | (file) | syntax error: expected "," |

  Scenario: A key that stands twice is refused, since one of the two would be lost
    When a program loads these settings
      """
      {"listen": "10.0.0.1:80", "queueBytes": 1,
       "queueBytes": 2}
      """
    Then these problems are told
      | 2:2 | queueBytes | stands twice in the same object |

  Scenario: A file that does not exist
    When a program loads settings that do not exist
    Then the settings cannot be read: "there is no such file"

  Scenario: Comments and trailing commas are allowed, and defaults fill in
    When a program loads these settings
      """
      {
        "listen": "[::1]:0", // Any free port.
        "queueBytes": 1048576,
      }
      """
    Then the settings read
      | listen     | [::1]:0 |
      | queueBytes | 1048576 |
      | tries      | 2       |
      | timeoutMs  | 1000    |
      | logLevel   | info    |

  Scenario: Every program that has been built tells a wrong setting by its key
    When each built program that takes settings is started with an unknown key "surprise"
    Then each names "surprise", exits with 78 and prints no stack trace
