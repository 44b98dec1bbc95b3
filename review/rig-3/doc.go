// Command rig3 starts nodes of dotterelgw against stand-ins of their surroundings and checks one rule in one scenario.
//
// The arguments are the name of the scenario, the path of the node's program and the path of the record that it writes. The exit
// code is 0 if the rule held, 1 if it was broken and 2 if the scenario couldn't run. With TROUBLE=0 in the environment the
// scenario runs without its disruption. KEEP_LOGS names a folder into which the logs of the nodes are copied.
package main
