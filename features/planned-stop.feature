Feature: A planned stop interrupts no request

  @known-red
  Scenario: A VM is stopped as planned while it executes requests
    Given a small cell of 3 VMs whose requests take 300 ms
    When the VM "vm-2" is stopped as planned while callers send requests to all nodes
    Then every request was answered by the owner of its key
    And no request was executed twice
    And the VM "vm-2" stopped in time
