Feature: Packing an uploaded batch file
  A client uploads items in any script and of any number. Each chunk is one value of the object API, which is
  bounded in bytes; a file's record names all its chunks and is one value too.

  Scenario: A text of three bytes a character
    Given chunks of at most 1000 bytes
    When 20 items with a text of 100 characters "ট" are packed
    Then no chunk has more than 1000 bytes
    And 20 items are stored

  Scenario: Chunks grow along the file
    Given chunks of 2 to 8 items
    When 2000 items with a text of 5 characters "a" are packed
    Then the first chunk has 2 items and the one before the last 8
    And 2000 items are stored

  Scenario: The same custom_id twice
    Given chunks of 2 to 8 items
    When an item "note-1" is packed twice
    Then the upload is refused with status 400

  Scenario: A file that is too large
    Given a file of at most 1000 bytes
    When 20 items with a text of 100 characters "a" are packed
    Then the upload is refused with status 413
