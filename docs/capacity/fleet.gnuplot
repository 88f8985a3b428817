# Control cost of a node by fleet size, against its budgets; reads OUT/fleet.dat.
set terminal svg size 900,320 font 'sans,11'
set output out.'/fleet.svg'
set multiplot layout 1,3
set xlabel 'nodes'
set yrange [0:*]
unset key
set title 'processor time, % of a core (budget 1.4)'
plot out.'/fleet.dat' using 1:2 with linespoints pt 7, 1.4 with lines dt 2
set title 'control traffic, KB/s (budget 9)'
plot out.'/fleet.dat' using 1:3 with linespoints pt 7, 9 with lines dt 2
set title 'memory, MB (budget 32)'
plot out.'/fleet.dat' using 1:4 with linespoints pt 7, 32 with lines dt 2
unset multiplot
