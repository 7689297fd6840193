Feature: A keyed request follows the run that has its key, and no other
  A gate sends a booking again, under its key, through another entry. That entry reads the first run's answer at its agent,
  loses the agent in the middle, and finds in the claim how the run has ended. It goes on where it stopped.

  Scenario: The agent is lost while its answer is read
    # Guards against an answer in which pieces stand twice, or which is put together from two runs, since it was read in two places.
    Then these are the answers of which 3 chunks are read before the agent is lost:
      | the answer is | the claim then holds            | the caller receives |
      | a stream      | the answer                      | do BRAKE now        |
      | a whole text  | the answer                      | do BRAKE now        |
      | a call        | the answer                      | 201 left rear       |
      | a stream      | an end, its answer at the agent | do BRAKE now        |
      | a whole text  | an end, its answer at the agent | do BRAKE now        |
      | a call        | an end, its answer at the agent | 201 left rear       |
      | a stream      | the answer of another run       | do BRAKE, unknown   |
      | a whole text  | the answer of another run       | do BRAKE now        |
      | a call        | the answer of another run       | 201 left rear       |
      | a stream      | no more than before             | do BRAKE, unknown   |
      | a whole text  | no more than before             | unknown             |
