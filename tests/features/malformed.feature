Feature: Malformed requests are refused and reach no target
  Scenario Outline: <what>
    Given 1 target
    And the daemon settings [listen] body_idle_timeout_s = 5.0
    When a caller sends the bytes <bytes>
    Then the last answer is <code> with run state not-run
    And no target received anything

    Examples:
      | what                     | code | bytes |
      | Both length headers      | 2010 | POST /order/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n |
      | Two lengths              | 2010 | POST /order/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\ncontent-length: 4\r\n\r\nabcd |
      | Lengths in a list        | 2010 | POST /order/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 4, 4\r\n\r\nabcd |
      | A signed length          | 2010 | POST /order/1 HTTP/1.1\r\nhost: x\r\ncontent-length: +4\r\n\r\nabcd |
      | A folded header          | 2010 | GET /lookup/1 HTTP/1.1\r\nhost: x\r\na: b\r\n c\r\n\r\n |
      | A bare line feed         | 2010 | GET /lookup/1 HTTP/1.1\nhost: x\n\n |
      | A bare line feed inside  | 2010 | GET /lookup/1 HTTP/1.1\r\nhost: x\r\na: b\nc: d\r\n\r\n |
      | A bare carriage return   | 2010 | GET /lookup/1 HTTP/1.1\r\nhost: x\r\na: b\rc\r\n\r\n |
      | A space before the colon | 2010 | POST /order/1 HTTP/1.1\r\nhost: x\r\ncontent-length : 4\r\n\r\nabcd |
      | No host                  | 2010 | GET /lookup/1 HTTP/1.1\r\n\r\n |
      | An absolute target       | 2010 | GET http://x/lookup/1 HTTP/1.1\r\nhost: x\r\n\r\n |
      | An asterisk target       | 2010 | OPTIONS * HTTP/1.1\r\nhost: x\r\n\r\n |
      | Dot segments             | 2010 | POST /lookup/../order/1 HTTP/1.1\r\nhost: x\r\n\r\n |
      | Encoded dot segments     | 2010 | POST /lookup/%2e%2E/order/1 HTTP/1.1\r\nhost: x\r\n\r\n |
      | Two leading slashes      | 2010 | POST //order/1 HTTP/1.1\r\nhost: x\r\n\r\n |
      | A backslash              | 2010 | POST /lookup\\\\..\\\\order HTTP/1.1\r\nhost: x\r\n\r\n |
      | A tunnel                 | 2010 | CONNECT x:80 HTTP/1.1\r\nhost: x\r\n\r\n |
      | Another coding           | 2010 | POST /order/1 HTTP/1.1\r\nhost: x\r\ntransfer-encoding: gzip, chunked\r\n\r\n |
      | Chunks in HTTP/1.0       | 2010 | POST /order/1 HTTP/1.0\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n |
      | A bad deadline           | 2010 | GET /lookup/1 HTTP/1.1\r\nhost: x\r\ndotterelstand-deadline-ms: -1\r\n\r\n |
      | Another protocol         | 2010 | \x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n |
      | A head without end       | 2017 | GET /lookup/1 HTTP/1.1\r\nhost: x\r\n |
      | A stalled short body     | 2017 | POST /order/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nabc |
      | An oversized head        | 2011 | GET /lookup/1 HTTP/1.1\r\nhost: x\r\na: {long}\r\n\r\n |

  Scenario Outline: <what> after the request was forwarded ends it
    Given 1 target
    And the daemon settings [listen] body_idle_timeout_s = 5.0
    And the daemon settings [requests] held_body_bytes = 0
    When a caller sends the bytes <bytes>
    Then the last answer is 3009 with run state unknown
    And the request ran 0 times

    Examples:
      | what           | bytes |
      | A bad chunk    | POST /order/1 HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n |
      | A stalled body | POST /order/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 100000\r\n\r\nabc |
      | A stalled chunk | POST /order/1 HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n5\r\nabc |

  Scenario: Pipelined requests are answered in order
    Given 2 targets
    When a caller sends 5 lookups at once on one connection
    Then 5 answers arrive in order on that connection

  Scenario: A caller that expects 100-continue receives it
    Given 1 target
    When a caller sends POST /order/1 and waits for 100-continue
    Then the last answer is 1000

  Scenario: A request is cancelled at the target when its caller disconnects
    Given 1 target with faults {"slow_factor": 400.0}
    When a caller sends POST /order/1 and disconnects
    Then a target saw a request cancelled
    And the counter requests.result.3007 is 1

  Scenario: Connections over the limit are refused
    Given 1 target
    And the daemon settings [listen] max_connections = 3
    When 3 callers keep a connection open and another one sends POST /order/1
    Then the last answer is 2018 with run state not-run
