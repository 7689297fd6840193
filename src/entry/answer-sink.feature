Feature: What callers receive of a generation that two runs answered
  An engine is lost in the middle of an answer, and another one gets the request. Where the caller of a stream has more than a
  text, nobody can go on; a caller that has nothing yet gets the whole answer of the second run.

  Scenario: The first run ends before its answer is whole
    # Guards against an answer in which a piece stands twice or is missing, since the pieces of two runs were put together.
    Then these are the answers whose first run brings something and ends:
      | the first run brings         | a stream's caller receives | any other receives |
      | nothing                      | do BRAKE now               | do BRAKE now       |
      | a role                       | do BRAKE now               | do BRAKE now       |
      | a text                       | do BRAKE now               | do BRAKE now       |
      | all but the end              | do BRAKE now               | do BRAKE now       |
      | a reasoning                  | R1, an error               | R1 R2 do BRAKE now |
      | a tool call                  | book(left, an error        | book(left rear)    |
      | log probabilities            | do (1)BRAKE (1), an error  | do BRAKE now(3)    |
      | those of a text              | do (1)BRAKE (1), an error  | do BRAKE now(3)    |
      | a refusal                    | I can, an error            | I can not say      |
      | one of two choices           | left, an error             | left / right       |
      | a part of one of two choices | le, an error               | left / right       |
