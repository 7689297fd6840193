Feature: An upload has one outcome, however its form ends
  A caller uploads a batch file as a form that is cut short, names two files, or holds a line of any length or depth.
  Unhandled, a broken form ends the process, a second file leaves the caller without an answer, and a line
  without a break fills the memory. Each is answered, and of a line no more than a chunk's bytes are kept.

  Scenario Outline: <form>
    When a form with "<form>" is uploaded
    Then the answer to the upload has status <status>

    Examples:
      | form                                   | status |
      | a file                                 | 200    |
      | two files                              | 200    |
      | no closing boundary                    | 400    |
      | a line of 50000 levels                 | 400    |
      | a line of more bytes than a chunk      | 413    |
      | a line separator in a JSON string      | 200    |
