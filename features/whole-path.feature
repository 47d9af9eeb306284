Feature: The end-to-end path of a request

  Scenario: A caller's request reaches the owner of its key through any node
    Given a cell of 3 VMs with the service "sklad" partitioned by key
    When a caller requests from each node the keys "lot-1, lot-2, lot-3"
    Then each answer matches its request
    And each key was answered by one backend server
