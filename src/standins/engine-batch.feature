Feature: The engine stand-in's batch
  Engines admit requests as they arrive and know no priorities: an online request behind batch work waits for it.
  This is the harm that the system has to prevent, so the stand-in must do it step by step as told here.

  Scenario: Sequences are admitted in the order of their arrival
    Given an engine batch of 2 sequences
    When these ask for tokens, in this order
      | a | 1  |
      | b | 3  |
      | c | 1  |
      | d | 1  |
    Then the tokens of each step go to
      | a, b |
      | b, c |
      | b, d |

  Scenario: A large request at the head holds back smaller ones behind it
    Given an engine batch of 4 sequences with room for 100 tokens
    When these ask for tokens, in this order
      | a | 2  |
      | b | 98 |
      | c | 1  |
      | d | 1  |
    Then the tokens of the first steps go to
      | a |
      | a |
      | b |

  Scenario: A long prompt is computed in parts while others go on
    Given an engine batch that computes 16 prompt tokens a step
    When "a" asks for 3 tokens, and then "b" with a prompt of 160 characters for 1
    Then the tokens of each step go to
      | a |
      | a |
      | a, b |

  Scenario: A cached prefix is not computed again
    Given an engine batch of 2 sequences
    When "a" with a prompt of 640 characters was answered
    And the same prompt comes again
    Then the step computes 1 prompt token
